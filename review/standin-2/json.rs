//! A small reader of JSON.

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Table(rows) => rows.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut at = 0;
    value(bytes, &mut at)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Value::Table(rows));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Value::Text(name) = value(bytes, at)? else { return None };
                        skip(bytes, at);
                        *at += 1;
                        rows.push((name, value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Value::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        b'"' => {
            let start = *at + 1;
            let length = bytes[start..].iter().position(|byte| *byte == b'"')?;
            *at = start + length + 1;
            Some(Value::Text(String::from_utf8_lossy(&bytes[start..start + length]).into_owned()))
        }
        b't' => {
            *at += 4;
            Some(Value::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Value::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Value::Null)
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Value::Number)
        }
    }
}
