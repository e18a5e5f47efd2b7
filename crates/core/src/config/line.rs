//! Line numbers of sections and keys, which the INI parser does not report.

/// The line numbers of the sections and keys of a text, in document order.
pub(super) struct LineIndex {
    sections: Vec<SectionLines>,
}

struct SectionLines {
    line: usize,
    keys: Vec<(String, usize)>,
}

impl LineIndex {
    /// Builds the index of `text`.
    pub(super) fn new(text: &str) -> Self {
        // The first entry holds the keys that precede the first section header.
        let mut sections = vec![SectionLines {
            line: 1,
            keys: Vec::new(),
        }];
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            let number = index + 1;
            if line.starts_with('[') {
                sections.push(SectionLines {
                    line: number,
                    keys: Vec::new(),
                });
            } else if !line.starts_with(['#', ';'])
                && let Some((key, _)) = line.split_once(['=', ':'])
                && let Some(section) = sections.last_mut()
            {
                section.keys.push((key.trim().to_owned(), number));
            }
        }
        Self { sections }
    }

    /// Returns the line of `key` in a section, or of the section header if the key is not found.
    /// `occurrence` selects one of several equal keys, counted from 0.
    pub(super) fn find(&self, section: usize, key: &str, occurrence: usize) -> usize {
        let Some(lines) = self.sections.get(section) else {
            return 0;
        };
        let mut found = lines.keys.iter().filter(|(name, _)| name == key);
        found.nth(occurrence).map_or(lines.line, |(_, line)| *line)
    }
}
