//! Passes notices to the task that delivers them to the platform.

use reeddock_protocol::DeliveryNotice;

use super::EventLoop;

impl EventLoop {
    /// Passes notices to the task that delivers them.
    pub(super) fn send_notices(&mut self, notices: impl IntoIterator<Item = DeliveryNotice>) {
        for notice in notices {
            self.state.notice_sent();
            let _ = self.notices.send(notice);
        }
    }
}
