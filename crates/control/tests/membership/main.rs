//! How core machines come to their replicas, over loopback (design 4.4, 12.1).

mod bootstrap;
mod first_frame;
mod machines;
