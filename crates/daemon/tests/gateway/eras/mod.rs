//! The store comes back from an older copy of itself, in a new era: what it had acknowledged since is gone, and its revisions are
//! given out again.

mod fixture;
mod leaves;
mod news;
mod own_objects;
mod reports;
