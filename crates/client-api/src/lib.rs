//! The HTTP interface of a node for the clients on its machine: one call for each request
//! (design 5.2).

#![deny(missing_docs)]

mod call;

use legacy_proxy::{OutboundProxy, SlotOwnerHandle};
use salvo::Router;

use call::CallHandler;

/// Returns the router for `/call/{service}/…`, which accepts any method.
pub fn router(proxy: OutboundProxy, slot_owner: SlotOwnerHandle) -> Router {
    Router::with_path("call/{service}/{**rest}").goal(CallHandler { proxy, slot_owner })
}
