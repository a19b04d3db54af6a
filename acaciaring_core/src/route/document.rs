//! Documents published by operators: templates and the parameters of workspaces.

use std::fmt::{self, Display, Formatter};

use acaciaring_schema::log;
use serde::{Deserialize, Serialize};

use crate::id::Name;

/// Kind of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DocumentKind {
    /// Route template, shared by workspaces.
    Template,
    /// Parameters of one workspace.
    Parameters,
}

impl DocumentKind {
    /// Returns the name of the kind in commands and messages.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Template => "template",
            Self::Parameters => "parameters",
        }
    }

    /// Parses the name of a kind.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        [Self::Template, Self::Parameters].into_iter().find(|kind| kind.as_str() == text)
    }

    /// Converts from a protobuf field, or returns `None` if the kind is missing or unknown.
    #[must_use]
    pub fn from_wire(kind: i32) -> Option<Self> {
        match log::DocumentKind::try_from(kind) {
            Ok(log::DocumentKind::Template) => Some(Self::Template),
            Ok(log::DocumentKind::Parameters) => Some(Self::Parameters),
            Ok(log::DocumentKind::Unspecified) | Err(_) => None,
        }
    }

    /// Converts to a protobuf field.
    #[must_use]
    pub fn to_wire(self) -> i32 {
        let kind = match self {
            Self::Template => log::DocumentKind::Template,
            Self::Parameters => log::DocumentKind::Parameters,
        };
        kind.into()
    }
}

impl Display for DocumentKind {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// One value of a document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DocumentField {
    /// Section in the file.
    pub section: Name,
    /// Key in the section.
    pub key: Name,
    /// Value, without surrounding whitespace.
    pub value: Name,
    /// Line in the file, 0 if unknown.
    pub line: u32,
}

impl From<&log::Field> for DocumentField {
    fn from(field: &log::Field) -> Self {
        Self {
            section: field.section.as_str().into(),
            key: field.key.as_str().into(),
            value: field.value.as_str().into(),
            line: field.line,
        }
    }
}

impl From<&DocumentField> for log::Field {
    fn from(field: &DocumentField) -> Self {
        Self {
            section: field.section.to_string(),
            key: field.key.to_string(),
            value: field.value.to_string(),
            line: field.line,
        }
    }
}

/// Published template or parameters of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Document {
    /// Name, unique within the kind.
    pub name: Name,
    /// Kind.
    pub kind: DocumentKind,
    /// Values in file order.
    pub fields: Vec<DocumentField>,
}

impl Document {
    /// Returns the first field with this section and key.
    #[must_use]
    pub fn field(&self, section: &str, key: &str) -> Option<&DocumentField> {
        self.fields.iter().find(|field| &*field.section == section && &*field.key == key)
    }

    /// Returns the name of the template that a parameters document uses.
    #[must_use]
    pub fn template(&self) -> Option<&Name> {
        match self.kind {
            DocumentKind::Template => None,
            DocumentKind::Parameters => {
                self.field("workspace", "template").map(|field| &field.value)
            }
        }
    }
}

/// Validation error at one place of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fault {
    /// Name of the document, or of its file if the error was found by parsing.
    pub document: Name,
    /// Line in the file, 0 if unknown.
    pub line: u32,
    /// Section, empty if the error concerns the whole document.
    pub section: Name,
    /// Key, empty if the error concerns the whole section.
    pub key: Name,
    /// Description of the error and the expected value.
    pub message: String,
}

impl Display for Fault {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let Self { document, line, section, key, message } = self;
        write!(out, "{document}:{line}: {section}.{key}: {message}")
    }
}
