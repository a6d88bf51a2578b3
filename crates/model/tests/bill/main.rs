//! The bill: items, back ends and nodes, rows of keys, and what followers hold of it (design 11).

mod conflicts;
mod items;
mod making;
mod orders;
mod players;
mod programme;
mod rows;
