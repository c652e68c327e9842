//! Reads the bodies of requests within a bound on what all of them hold together.
//!
//! A body is held until its answer is there, since the request may be sent again. Many callers that send long ones at the
//! same time would take an instance past its memory. So a body for which there is no room is read once there is: until
//! then it waits at its caller.

use std::error::Error;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of a body that is read in any case, in bytes: more than the usual body.
const OWN_SHARE_BYTES: usize = 32 << 10;

/// Most that all bodies hold beyond their own shares, in KiB.
const SHARED_KIB: usize = 24 << 10;

/// Memory of this instance for the bodies of requests. Those that wait for it get it in the order in which they came.
#[derive(Debug)]
pub struct BodyMemory {
    free_kib: Arc<Semaphore>,
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self {
            free_kib: Arc::new(Semaphore::new(SHARED_KIB)),
        }
    }
}

impl BodyMemory {
    /// Reads a body of up to `most_bytes`, once there is memory for it; the memory counts until the bytes are dropped.
    pub async fn read(
        &self,
        body: Incoming,
        most_bytes: usize,
    ) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
        let length = body.size_hint().exact().map(|length| length as usize);
        let may_need_bytes = length.unwrap_or(most_bytes).min(most_bytes);
        let mut body = Limited::new(body, most_bytes);
        let mut bytes = BytesMut::new();
        let mut room = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if room.is_none() && bytes.len() + data.len() > OWN_SHARE_BYTES {
                room = Some(self.room_for(may_need_bytes).await?);
            }
            bytes.extend_from_slice(&data);
        }
        let bytes = bytes.freeze();
        Ok(match room {
            Some(room) => Bytes::from_owner(Kept { bytes, _room: room }),
            None => bytes,
        })
    }

    async fn room_for(
        &self,
        bytes: usize,
    ) -> Result<OwnedSemaphorePermit, Box<dyn Error + Send + Sync>> {
        let kib = bytes.div_ceil(1 << 10).min(SHARED_KIB) as u32;
        let free_kib = Arc::clone(&self.free_kib);
        Ok(free_kib.acquire_many_owned(kib).await?)
    }

    /// What bodies hold beyond their own shares, in KiB.
    pub fn held_kib(&self) -> usize {
        SHARED_KIB - self.free_kib.available_permits()
    }
}

/// The bytes of a body with their room in the memory.
struct Kept {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
