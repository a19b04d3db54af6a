//! Interning of values: equal parts of states are stored once, which keeps states small.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// Index of a value in an [`Interner`]; equal values have equal indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle(u32);

/// Set of values that states refer to by [`Handle`].
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
    /// Returns the handle of a value, which is added unless an equal one exists.
    ///
    /// # Panics
    ///
    /// Panics if there are more than `u32::MAX` values.
    pub fn intern(&self, value: T) -> Handle {
        let mut inner = self.inner.borrow_mut();
        if let Some(handle) = inner.handles.get(&value) {
            return *handle;
        }
        let handle = Handle(
            u32::try_from(inner.values.len())
                .expect("the number of interned values fits in 32 bits"),
        );
        let value = Rc::new(value);
        inner.values.push(Rc::clone(&value));
        inner.handles.insert(value, handle);
        handle
    }

    /// Returns the value of a handle.
    pub fn get(&self, handle: Handle) -> Rc<T> {
        Rc::clone(&self.inner.borrow().values[handle.0 as usize])
    }

    /// Points the handle to a modified copy of its value and returns the closure's result.
    pub fn update<R>(&self, handle: &mut Handle, change: impl FnOnce(&mut T) -> R) -> R {
        let mut value = T::clone(&self.get(*handle));
        let result = change(&mut value);
        *handle = self.intern(value);
        result
    }
}
