//! Notices of upstreams that the platform no longer lists.

use std::collections::VecDeque;

use crate::{
    base::UpstreamName,
    notice::NoticeState,
    placement::{UpstreamIncarnation, UpstreamRecord},
};

/// Maximum number of upstreams whose notices are kept.
const FORMER_MAX: usize = 256;

#[derive(Clone, Debug)]
struct FormerUpstream {
    name: UpstreamName,
    incarnation: UpstreamIncarnation,
    notices: NoticeState,
}

/// Notices of upstreams that were removed, the latest last. A directory entry that expired during an
/// outage may come back while the upstream is the same process.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerUpstreams {
    upstreams: VecDeque<FormerUpstream>,
}

impl FormerUpstreams {
    /// Keeps the notices of a removed upstream, if there are any.
    pub(super) fn keep(&mut self, record: &UpstreamRecord, notices: NoticeState) {
        if notices == NoticeState::default() {
            return;
        }
        if self.upstreams.len() == FORMER_MAX {
            self.upstreams.pop_front();
        }
        self.upstreams.push_back(FormerUpstream {
            name: record.name.clone(),
            incarnation: record.incarnation(),
            notices,
        });
    }

    /// Removes and returns the notices of an upstream that is listed again.
    pub(super) fn take(&mut self, record: &UpstreamRecord) -> NoticeState {
        let incarnation = record.incarnation();
        let mut upstreams = self.upstreams.iter();
        let index = upstreams.position(|f| f.name == record.name && f.incarnation == incarnation);
        let former = index.and_then(|index| self.upstreams.remove(index));
        former.map_or_else(NoticeState::default, |former| former.notices)
    }
}
