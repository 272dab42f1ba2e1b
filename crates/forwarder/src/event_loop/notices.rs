//! Passes notices to the task that sends them to the platform.

use reeddock_protocol::DeliveryNotice;

use super::EventLoop;

impl EventLoop {
    /// Queues notices for the task that sends them to the platform.
    pub(super) fn send_notices(&mut self, notices: impl IntoIterator<Item = DeliveryNotice>) {
        for notice in notices {
            self.state.count_sent_notice();
            let _ = self.notices.send(notice);
        }
    }
}
