//! How core machines come to their seats, over loopback (design 4.4, 12.1).

mod first_words;
mod founding;
mod machines;
