//! The operators' HTTP API of a replica: changes and queries of the desired state, the status of
//! backends and nodes, and the health of the replica (docs/operators/changes.md).

#![deny(missing_docs)]

mod api;
mod changes;
mod queries;

use salvo::Router;

pub use api::OperatorApi;

use api::ItemKind;
use changes::{ApplyChange, DeleteItem, PutItem, ReplaceReplica};
use queries::{DesiredState, EndpointStatus, Liveness, Readiness, ReplicaStatus, SingleItem};

/// Routes of the operators' API.
pub fn router(api: OperatorApi) -> Router {
    let version_1 = Router::with_path("v1")
        .push(Router::with_path("changes").post(ApplyChange { api: api.clone() }))
        .push(Router::with_path("seats").post(ReplaceReplica { api: api.clone() }))
        .push(Router::with_path("desired").get(DesiredState { api: api.clone() }))
        .push(Router::with_path("standing").get(EndpointStatus { api: api.clone() }))
        .push(Router::with_path("status").get(ReplicaStatus { api: api.clone() }))
        .push(Router::with_path("groupings").push(item_router(&api, ItemKind::Grouping)))
        .push(Router::with_path("orders").push(item_router(&api, ItemKind::StandingOrder)));
    Router::new()
        .push(Router::with_path("live").get(Liveness))
        .push(Router::with_path("ready").get(Readiness { api }))
        .push(version_1)
}

/// Routes for one kind of named items.
fn item_router(api: &OperatorApi, kind: ItemKind) -> Router {
    Router::with_path("{name}")
        .get(SingleItem {
            api: api.clone(),
            kind,
        })
        .put(PutItem {
            api: api.clone(),
            kind,
        })
        .delete(DeleteItem {
            api: api.clone(),
            kind,
        })
}
