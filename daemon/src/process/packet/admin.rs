//! Admin HTTP server: readiness, metrics, status, explanations of flows and the
//! process's knowledge.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::connection::hints::Owner;
use lagoonhollow_lib::front::packet::message::KnownVersions;
use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::types::Query;
use ntex::web::types::State;
use serde::Deserialize;
use tokio::sync::oneshot;

use super::shared::Shared;
use super::traffic_queues::Command;
use crate::process::status::Explanation;
use crate::version::packet::knowledge_delta;

/// Number of ranks in an explanation.
const SHOWN_RANKS: usize = 4;
/// Time limit for the traffic thread's part of an explanation.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Query of `/explain`: the flow's addresses.
#[derive(Clone, Copy, Debug, Deserialize)]
struct FlowQuery {
    caller: SocketAddr,
    service: SocketAddr,
}

/// Binds and starts the admin server of a process.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub fn bind(shared: Arc<Shared>) -> io::Result<()> {
    let settings = &shared.settings;
    let addresses = [Some(settings.admin), Some(settings.link), settings.control];
    let shared = shared.clone();
    let app = async move || {
        web::App::new()
            .state(shared.clone())
            .service(web::resource("/ready").route(web::get().to(ready)))
            .service(web::resource("/metrics").route(web::get().to(metrics)))
            .service(web::resource("/status").route(web::get().to(status)))
            .service(web::resource("/explain").route(web::get().to(explain)))
            .service(web::resource(knowledge_delta::PATH).route(web::get().to(knowledge)))
    };
    let mut server = web::server(app).workers(1).disable_signals();
    for address in addresses.into_iter().flatten() {
        server = server.bind(address)?;
    }
    server.run();
    Ok(())
}

async fn ready(shared: State<Arc<Shared>>) -> HttpResponse {
    if shared.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn metrics(shared: State<Arc<Shared>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(shared.metrics.text())
}

async fn status(shared: State<Arc<Shared>>) -> HttpResponse {
    HttpResponse::Ok().json(&shared.status())
}

async fn knowledge(shared: State<Arc<Shared>>, known: Query<KnownVersions>) -> HttpResponse {
    HttpResponse::Ok().json(&shared.knowledge.delta_since(*known, shared.clock.now()))
}

async fn explain(shared: State<Arc<Shared>>, query: Query<FlowQuery>) -> HttpResponse {
    let FlowQuery { caller, service } = *query;
    let flow = FlowKey { protocol: Protocol::Tcp, caller, service };
    HttpResponse::Ok().json(&explanation(&shared, flow).await)
}

async fn explanation(shared: &Shared, flow: FlowKey) -> Explanation {
    let owner = query_traffic(shared, flow).await;
    let view = shared.knowledge.view();
    let route = view.routes.route(flow.service);
    let service = route.and_then(|r| r.service(flow.hash()));
    let pool = service.and_then(|s| view.roster.pool(s));
    let ranks = pool.into_iter().flat_map(|p| p.ranks(flow.hash(), SHOWN_RANKS));
    let ranks: Vec<_> = ranks.map(|m| m.name.to_string()).collect();
    let name = owner.map(|o| match view.roster.on_vm(o.link.ip()) {
        Some(member) => member.name.to_string(),
        None => o.link.to_string(),
    });
    let reason = match (service, ranks.first(), &name) {
        (None, _, _) => "no route has the address".to_owned(),
        (Some(service), None, _) => format!("{service} has no backend server"),
        (Some(_), Some(home), Some(owner)) => {
            format!("{owner} claimed the flow; its home is {home}")
        }
        (Some(_), Some(home), None) => {
            format!("its home is {home}; this process knows no owner, so ask the home")
        }
    };
    Explanation {
        flow: format!("{} {}", flow.caller, flow.service),
        version: view.routes.version(),
        service: service.map(|s| s.to_string()),
        ranks,
        owner: name,
        reason,
    }
}

async fn query_traffic(shared: &Shared, flow: FlowKey) -> Option<Owner> {
    let (reply, answer) = oneshot::channel();
    shared.traffic.try_send(Command::Explain { flow, reply }).ok()?;
    tokio::time::timeout(EXPLAIN_TIMEOUT, answer).await.ok()?.ok()?
}
