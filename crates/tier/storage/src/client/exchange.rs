//! Request and answer between the client and one storage machine; the basis of the client's reads and writes.

use std::sync::Arc;
use std::time::Duration;

use woadreach_rpc::{CallError, ServiceId};

use super::StorageClient;
use crate::message::{Answer, FencingToken, Operation, Request, Response, decode, encode};
use crate::view::StorageMember;

/// Offset in bytes of the disk's identity in an encoded request: after the version and the epoch.
const DISK_OFFSET: usize = 9;

/// A request, encoded once for all machines of a group.
#[derive(Clone)]
pub(super) struct EncodedRequest {
    bytes: Arc<Vec<u8>>,
}

impl EncodedRequest {
    pub(super) fn new(epoch: u64, operation: &Operation) -> EncodedRequest {
        let request = Request {
            fencing_token: FencingToken { epoch, disk: 0 },
            operation: operation.clone(),
        };
        EncodedRequest {
            bytes: Arc::new(encode(&request)),
        }
    }

    /// Length of the request in bytes.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    fn addressed_to(&self, disk: u64) -> Vec<u8> {
        let mut bytes = Vec::clone(&self.bytes);
        bytes[DISK_OFFSET..DISK_OFFSET + 8].copy_from_slice(&disk.to_le_bytes());
        bytes
    }
}

impl StorageClient {
    /// Sends a request and reads the answer. If one side has an older view, it receives the newer one.
    pub(super) async fn exchange(
        &self,
        member: &StorageMember,
        request: &EncodedRequest,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let body = request.addressed_to(member.disk);
        let reply = self
            .shared
            .rpc
            .call(member.address, ServiceId::STORAGE, body, timeout)
            .await?;
        let response: Response = decode(&reply).map_err(|_| CallError::Broken)?;
        if let Answer::Stale { view } = &response.answer {
            self.set_view(Arc::new(view.clone()));
        }
        self.send_newer_view(member, response.epoch);
        Ok(response.answer)
    }

    /// Sends the client's view to a machine that has an older one.
    fn send_newer_view(&self, member: &StorageMember, known_epoch: u64) {
        let view = self.view();
        if known_epoch < view.epoch {
            let fencing_token = FencingToken {
                epoch: view.epoch,
                disk: member.disk,
            };
            let operation = Operation::NewView {
                view: (*view).clone(),
            };
            let body = encode(&Request {
                fencing_token,
                operation,
            });
            self.shared
                .rpc
                .notify(member.address, ServiceId::STORAGE, body);
        }
    }
}
