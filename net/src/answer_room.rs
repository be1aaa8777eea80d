//! Memory for answers that were read from servers and not written to callers.

use std::time::Duration;

use limpetferry_lib::gateway_budget::GatewayPart;
use smol::lock::Mutex;

use crate::gateway::Gateway;
use crate::held::Held;
use crate::held::Hold;

/// Longest answer that may use all of the memory, in bytes.
const SHORT: usize = 16 << 10;
/// Part of the memory that longer answers leave to short ones, as a divisor.
const SHORT_DIVISOR: u64 = 5;
/// Pause before it is looked again whether there is room.
const PAUSE: Duration = Duration::from_millis(5);

/// Memory for answers, and who waits for it.
#[derive(Debug, Default)]
pub struct AnswerRoom {
    held: Held,
    /// The first of the short answers, and of the long ones, looks for room; the others
    /// wait behind it.
    short: Mutex<()>,
    long: Mutex<()>,
}

impl AnswerRoom {
    /// Begins to count an answer, which has no bytes yet.
    pub fn hold(&self) -> Hold {
        self.held.none()
    }

    /// Returns the bytes of all answers.
    pub fn bytes(&self) -> usize {
        self.held.bytes()
    }

    /// Waits until there is room for `size` bytes of one answer, of which `hold` counts
    /// some already. Closes callers that do not read.
    pub async fn wait(&self, gateway: &Gateway, hold: &mut Hold, size: usize) {
        let more = size.saturating_sub(hold.bytes());
        let all = gateway.budget().answers;
        let (turn, most) = if size <= SHORT {
            (&self.short, all)
        } else {
            (&self.long, all - all / SHORT_DIVISOR)
        };
        if more == 0 || hold.grow(more, most as usize) {
            return;
        }
        gateway.memory.lack(GatewayPart::Answers);
        let _turn = turn.lock().await;
        while !hold.grow(more, most as usize) {
            gateway.connections.close_one(GatewayPart::Answers);
            smol::Timer::after(PAUSE).await;
        }
    }
}
