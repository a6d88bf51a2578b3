//! Operators: changes, reading back, standing, health (docs/operators/changes.md).

mod changes;
mod reading;

#[derive(Clone)]
pub struct Boxoffice {
    pub core: control::Core,
    /// False once the process has been told to stop.
    pub staying: std::sync::Arc<std::sync::atomic::AtomicBool>,
}

pub fn router(office: Boxoffice) -> salvo::Router {
    let one = |kind: changes::Kind| {
        salvo::Router::with_path("{name}")
            .get(reading::One(office.clone(), kind))
            .put(changes::Put(office.clone(), kind))
            .delete(changes::Drop(office.clone(), kind))
    };
    salvo::Router::new()
        .push(salvo::Router::with_path("live").get(reading::Live))
        .push(salvo::Router::with_path("ready").get(reading::Ready(office.clone())))
        .push(
            salvo::Router::with_path("v1")
                .push(salvo::Router::with_path("changes").post(changes::Apply(office.clone())))
                .push(salvo::Router::with_path("seats").post(changes::Replace(office.clone())))
                .push(salvo::Router::with_path("desired").get(reading::Desired(office.clone())))
                .push(salvo::Router::with_path("standing").get(reading::Standing(office.clone())))
                .push(salvo::Router::with_path("status").get(reading::Status(office.clone())))
                .push(salvo::Router::with_path("groupings").push(one(changes::Kind::Grouping)))
                .push(salvo::Router::with_path("orders").push(one(changes::Kind::Order))),
        )
}
