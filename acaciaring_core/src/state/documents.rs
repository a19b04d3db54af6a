//! Publication of documents, and the routes built from them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use acaciaring_schema::log;

use super::{Assignment, Rejection, Service, State};
use crate::id::{Name, Offset};
use crate::route::{self, Division, Document, DocumentField, DocumentKind, Fault, Route};

/// Document with its current version.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Published {
    /// Content, without fields when the document is retired.
    pub document: Document,
    /// Offset of the record that last changed the document.
    pub version: Offset,
    /// True if the document is retired and only its version is retained.
    pub retired: bool,
}

impl Published {
    /// Returns the template that these parameters use, or `None` if they are retired.
    fn template(&self) -> Option<&Name> {
        let is_template_name =
            |field: &&DocumentField| &*field.section == "workspace" && &*field.key == "template";
        let field = self.document.fields.iter().find(is_template_name);
        field.filter(|_| !self.retired).map(|field| &field.value)
    }
}

impl State {
    pub(super) fn publish(
        &mut self,
        offset: Offset,
        publish: &log::Publish,
    ) -> Result<(), Rejection> {
        let name = Name::from(publish.name.as_str());
        let Some(kind) = document_kind(publish.kind).filter(|_| !name.is_empty()) else {
            return Err(invalid(fault(&name, "", "", "the document has no name or kind")));
        };
        let current = self.document(kind, &name).map_or(0, |published| published.version);
        if publish.base != current {
            return Err(Rejection::Conflict { current });
        }
        if publish.retired {
            return self.retire(offset, kind, name);
        }
        let fields = publish.fields.iter().map(document_field).collect();
        let document = Document { name, kind, fields };
        let faults = route::check(&document);
        if !faults.is_empty() {
            return Err(Rejection::Invalid { faults });
        }
        let published = Published { document, version: offset, retired: false };
        let routes = self.build_affected(&published)?;
        self.check_routes(&routes)?;
        self.install_routes(routes);
        self.store(published);
        Ok(())
    }

    fn retire(&mut self, offset: Offset, kind: DocumentKind, name: Name) -> Result<(), Rejection> {
        if self.document(kind, &name).is_none_or(|published| published.retired) {
            return Err(Rejection::UnknownDocument);
        }
        if kind == DocumentKind::Template
            && let Some(user) = self.users_of(&name).next()
        {
            return Err(Rejection::InUse { workspace: Name::clone(&user.document.name) });
        }
        if kind == DocumentKind::Parameters {
            // The service stays, without a route: a member that lags behind the log may still
            // serve its units, so they must keep their owners if the workspace is published again.
            self.routes.remove(&name);
        }
        let document = Document { name, kind, fields: Vec::new() };
        self.store(Published { document, version: offset, retired: true });
        Ok(())
    }

    /// Returns the active parameters that use a template.
    fn users_of(&self, template: &str) -> impl Iterator<Item = &Published> {
        self.parameters.values().filter(move |p| p.template().is_some_and(|t| &**t == template))
    }

    /// Builds the routes that depend on a document.
    pub(super) fn build_affected(&self, published: &Published) -> Result<Vec<Route>, Rejection> {
        let document = &published.document;
        let pairs: Vec<(&Document, &Document)> = match document.kind {
            DocumentKind::Template => {
                self.users_of(&document.name).map(|user| (document, &user.document)).collect()
            }
            DocumentKind::Parameters => vec![(self.template_of(published)?, document)],
        };
        let mut routes = Vec::new();
        let mut faults = Vec::new();
        for (template, parameters) in pairs {
            match route::build(template, parameters) {
                Ok(route) => routes.push(route),
                Err(found) => faults.extend(found),
            }
        }
        if faults.is_empty() { Ok(routes) } else { Err(Rejection::Invalid { faults }) }
    }

    /// Returns the active template that parameters use.
    fn template_of(&self, parameters: &Published) -> Result<&Document, Rejection> {
        let template = parameters.template().and_then(|name| self.templates.get(name));
        let template = template.filter(|template| !template.retired);
        template.map(|template| &template.document).ok_or_else(|| {
            let name = &parameters.document.name;
            invalid(fault(name, "workspace", "template", "no active template has this name"))
        })
    }

    /// Checks changed routes for conflicts with each other, with other routes and with services.
    pub(super) fn check_routes(&self, changed: &[Route]) -> Result<(), Rejection> {
        let names: BTreeSet<_> = changed.iter().map(|route| &route.workspace).collect();
        let others = self.routes.values().filter(|route| !names.contains(&route.workspace));
        let mut workspaces: BTreeMap<_, _> =
            others.map(|route| ((&route.host, &route.prefix), &route.workspace)).collect();
        let mut faults = Vec::new();
        for route in changed {
            let workspace = &route.workspace;
            if let Some(other) = workspaces.insert((&route.host, &route.prefix), workspace) {
                let message = format!("workspace {other} has the same host and prefix");
                faults.push(fault(workspace, "route", "prefix", &message));
            }
            if !self.division_allowed(route) {
                let message = "the division of a service that has owners cannot change";
                faults.push(fault(workspace, "division", "slots", message));
            }
        }
        if faults.is_empty() { Ok(()) } else { Err(Rejection::Invalid { faults }) }
    }

    /// Returns true if the route's partitioning cannot give a key a second owner.
    ///
    /// Members that lag behind the log map keys to units by the old partitioning, so it must not
    /// change while the route is active. After the route is retired it may change once no unit
    /// has an owner or former owner.
    fn division_allowed(&self, route: &Route) -> bool {
        if let Some(present) = self.routes.get(&route.workspace) {
            return present.division == route.division;
        }
        self.services.get(&route.workspace).is_none_or(|service| {
            let unowned = |a: &Assignment| a.owner.is_none() && a.prior.is_none();
            slot_count(route) == service.slots.len() || service.units().all(|(_, a)| unowned(a))
        })
    }

    /// Installs routes and creates the services of those that are partitioned by key.
    fn install_routes(&mut self, routes: Vec<Route>) {
        for route in routes {
            let workspace = Name::clone(&route.workspace);
            let count = slot_count(&route);
            let kept = self.services.get(&workspace).is_some_and(|s| s.slots.len() == count);
            if !kept {
                self.services.remove(&workspace);
            }
            if !kept && count > 0 {
                let service = Service {
                    workspace: Name::clone(&workspace),
                    slots: vec![Assignment::default(); count],
                    hot: BTreeMap::new(),
                    numeric: false,
                };
                self.services.insert(Name::clone(&workspace), service);
            }
            self.routes.insert(workspace, Arc::new(route));
        }
    }

    pub(super) fn store(&mut self, published: Published) {
        let map = match published.document.kind {
            DocumentKind::Template => &mut self.templates,
            DocumentKind::Parameters => &mut self.parameters,
        };
        map.insert(Name::clone(&published.document.name), published);
    }
}

/// Returns the number of slots of a route's service, 0 if it is not partitioned by key.
pub(super) fn slot_count(route: &Route) -> usize {
    match route.division {
        Division::Keyed { slots, .. } => usize::try_from(slots).unwrap_or(usize::MAX),
        Division::Pooled => 0,
    }
}

pub(super) fn document_kind(kind: i32) -> Option<DocumentKind> {
    match log::DocumentKind::try_from(kind) {
        Ok(log::DocumentKind::Template) => Some(DocumentKind::Template),
        Ok(log::DocumentKind::Parameters) => Some(DocumentKind::Parameters),
        Ok(log::DocumentKind::Unspecified) | Err(_) => None,
    }
}

pub(super) fn document_field(field: &log::Field) -> DocumentField {
    DocumentField {
        section: field.section.as_str().into(),
        key: field.key.as_str().into(),
        value: field.value.as_str().into(),
        line: field.line,
    }
}

fn invalid(fault: Fault) -> Rejection {
    Rejection::Invalid { faults: vec![fault] }
}

fn fault(document: &Name, section: &str, key: &str, message: &str) -> Fault {
    Fault {
        document: Name::clone(document),
        line: 0,
        section: section.into(),
        key: key.into(),
        message: message.to_owned(),
    }
}
