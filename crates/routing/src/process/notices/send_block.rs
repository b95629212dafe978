//! Why an endpoint gets no request now.

use std::time::Duration;

/// Why an endpoint gets no request now, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBlock {
    /// The limit that it names is reached.
    Limited(Duration),
    /// It asked for no requests.
    BackingOff(Duration),
}

impl SendBlock {
    /// Returns the time until the endpoint may be tried again.
    pub fn wait(self) -> Duration {
        match self {
            SendBlock::Limited(wait) | SendBlock::BackingOff(wait) => wait,
        }
    }

    /// Returns the block that lasts longer.
    pub fn longer(a: Option<SendBlock>, b: Option<SendBlock>) -> Option<SendBlock> {
        a.into_iter().chain(b).max_by_key(|block| block.wait())
    }

    /// Returns the block that ends first, if all endpoints are blocked; `None` if one isn't, or if there are none.
    pub fn first_to_end(all: impl Iterator<Item = Option<SendBlock>>) -> Option<SendBlock> {
        let all: Option<Vec<SendBlock>> = all.collect();
        all?.into_iter().min_by_key(|block| block.wait())
    }
}
