//! Shared parts of states: equal values are kept once, so that a state is small.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// Number of a value in a [`Interner`]; equal values have equal numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle(u32);

/// Values that many states share.
#[derive(Debug, Clone)]
pub struct Interner<T> {
    inner: RefCell<Inner<T>>,
}

#[derive(Debug, Clone)]
struct Inner<T> {
    values: Vec<Rc<T>>,
    handles: HashMap<Rc<T>, Handle>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self { inner: RefCell::new(Inner { values: Vec::new(), handles: HashMap::new() }) }
    }
}

impl<T: Clone + Eq + Hash> Interner<T> {
    /// Adds a value, unless an equal one is there.
    ///
    /// # Panics
    ///
    /// Panics at more than `u32::MAX` values.
    pub fn intern(&self, value: T) -> Handle {
        let mut inner = self.inner.borrow_mut();
        if let Some(handle) = inner.handles.get(&value) {
            return *handle;
        }
        let handle = Handle(u32::try_from(inner.values.len()).expect("a search is smaller"));
        let value = Rc::new(value);
        inner.values.push(Rc::clone(&value));
        inner.handles.insert(value, handle);
        handle
    }

    /// Returns a value.
    pub fn get(&self, handle: Handle) -> Rc<T> {
        Rc::clone(&self.inner.borrow().values[handle.0 as usize])
    }

    /// Replaces a value by a changed copy and returns what the change returns.
    pub fn update<R>(&self, handle: &mut Handle, change: impl FnOnce(&mut T) -> R) -> R {
        let mut value = T::clone(&self.get(*handle));
        let result = change(&mut value);
        *handle = self.intern(value);
        result
    }
}
