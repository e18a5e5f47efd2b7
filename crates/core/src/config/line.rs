//! Line numbers of sections and keys, which the INI parser does not report.

/// Locates the sections of a text, in their order.
pub(super) struct LineIndex {
    sections: Vec<SectionLines>,
}

struct SectionLines {
    line: usize,
    keys: Vec<(String, usize)>,
}

impl LineIndex {
    /// Scans `text`.
    pub(super) fn new(text: &str) -> Self {
        // The first entry stands for the keys before any section.
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

    /// Returns the line of the occurrence-th `key` in a section, or of the section itself.
    pub(super) fn find(&self, section: usize, key: &str, occurrence: usize) -> usize {
        let Some(lines) = self.sections.get(section) else {
            return 0;
        };
        let mut found = lines.keys.iter().filter(|(name, _)| name == key);
        found.nth(occurrence).map_or(lines.line, |(_, line)| *line)
    }
}
