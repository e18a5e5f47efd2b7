//! The document in force.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;

use crate::route::RouteDocument;

/// The document in force. It is only replaced by a newer one, in whichever order several sources
/// deliver their versions.
#[derive(Debug, Default)]
pub struct ActiveDocument {
    document: ArcSwapOption<RouteDocument>,
    /// Held during an activation; readers do not wait for it.
    activation: Mutex<()>,
}

impl ActiveDocument {
    /// Returns the document in force.
    #[must_use]
    pub fn load(&self) -> Option<Arc<RouteDocument>> {
        self.document.load_full()
    }

    /// Returns the version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        let document = self.document.load();
        document.as_ref().map_or(0, |document| document.version)
    }

    /// Puts a document in force unless the present one is as new, and returns whether it did.
    /// `prepare` runs before requests see the document, if it is to be put in force.
    pub fn activate(&self, document: RouteDocument, prepare: impl FnOnce(&RouteDocument)) -> bool {
        let _activation = self.activation.lock();
        let current = self.document.load();
        if current
            .as_ref()
            .is_some_and(|current| current.version >= document.version)
        {
            return false;
        }
        prepare(&document);
        self.document.store(Some(Arc::new(document)));
        true
    }
}
