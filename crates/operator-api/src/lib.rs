//! Operators: changes, reading back, standing, health (docs/operators/changes.md).

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

mod changes;
mod queries;

#[derive(Clone)]
pub struct OperatorApi {
    pub replica: control::ReplicaHandle,
    /// False once the process has been told to stop.
    pub accepting_work: Arc<AtomicBool>,
}

pub fn router(office: OperatorApi) -> salvo::Router {
    let one = |kind: changes::ItemKind| {
        salvo::Router::with_path("{name}")
            .get(queries::SingleItem(office.clone(), kind))
            .put(changes::PutItem(office.clone(), kind))
            .delete(changes::DeleteItem(office.clone(), kind))
    };
    salvo::Router::new()
        .push(salvo::Router::with_path("live").get(queries::Liveness))
        .push(salvo::Router::with_path("ready").get(queries::Readiness(office.clone())))
        .push(
            salvo::Router::with_path("v1")
                .push(
                    salvo::Router::with_path("changes").post(changes::ApplyChange(office.clone())),
                )
                .push(
                    salvo::Router::with_path("seats").post(changes::ReplaceReplica(office.clone())),
                )
                .push(
                    salvo::Router::with_path("desired").get(queries::DesiredState(office.clone())),
                )
                .push(
                    salvo::Router::with_path("standing")
                        .get(queries::EndpointStatus(office.clone())),
                )
                .push(
                    salvo::Router::with_path("status").get(queries::ReplicaStatus(office.clone())),
                )
                .push(salvo::Router::with_path("groupings").push(one(changes::ItemKind::Grouping)))
                .push(
                    salvo::Router::with_path("orders").push(one(changes::ItemKind::StandingOrder)),
                ),
        )
}
