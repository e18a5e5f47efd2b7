//! Reading and writing of JSON, as far as the stand-ins need it.

/// A JSON value; numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn number(value: impl ToString) -> Self {
        Self::Number(value.to_string())
    }

    pub fn text(value: impl Into<String>) -> Self {
        Self::Text(value.into())
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Self::Table(fields) => fields.iter().find(|f| f.0 == key).map(|f| &f.1),
            _ => None,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn write(&self, out: &mut String) {
        match self {
            Self::Null => out.push_str("null"),
            Self::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Self::Number(text) => out.push_str(text),
            Self::Text(text) => write_text(text, out),
            Self::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Self::Table(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

/// Builds a table from fields.
pub fn table<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Table(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b))
            {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "" => None,
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                text => Some(Json::Number(text.to_owned())),
            }
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        *at += 4;
                        out.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                    }
                    other => out.push(other),
                }
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}
