//! Time per decision, at several sizes.

#[path = "speed/steps.rs"]
mod steps;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use steps::Step;

fn routed(c: &mut Criterion) {
    let mut group = c.benchmark_group("packet routed by an entry");
    for backends in [4, 40, 400] {
        let mut step = Step::route(1, backends);
        let id = BenchmarkId::new("backend servers a service", backends);
        group.bench_function(id, |b| b.iter(|| step.run()));
    }
    for services in [17, 170, 1_700] {
        let mut step = Step::route(services, 4);
        let id = BenchmarkId::new("services", services);
        group.bench_function(id, |b| b.iter(|| step.run()));
    }
    group.finish();
}

fn opened(c: &mut Criterion) {
    let mut group = c.benchmark_group("flow opened at its home");
    for backends in [4, 40, 400] {
        let mut step = Step::open_flow(backends);
        let id = BenchmarkId::new("backend servers a service", backends);
        group.bench_function(id, |b| b.iter(|| step.run()));
    }
    group.finish();
}

fn granted(c: &mut Criterion) {
    let mut group = c.benchmark_group("grant by a witness");
    for backends in [4, 40, 400] {
        let mut step = Step::grant(backends);
        let id = BenchmarkId::new("backend servers a service", backends);
        group.bench_function(id, |b| b.iter(|| step.run()));
    }
    group.finish();
}

fn enforced(c: &mut Criterion) {
    let mut group = c.benchmark_group("version put in force");
    for services in [17, 170, 1_700] {
        let mut step = Step::enforce(services);
        let id = BenchmarkId::new("services", services);
        group.bench_function(id, |b| b.iter(|| step.run()));
    }
    group.finish();
}

fn ticked(c: &mut Criterion) {
    let mut group = c.benchmark_group("tick of an agent");
    for flows in [350, 3_500, 35_000] {
        let mut step = Step::tick(flows);
        group.bench_function(BenchmarkId::new("flows", flows), |b| b.iter(|| step.run()));
    }
    group.finish();
}

criterion_group!(benches, routed, opened, granted, enforced, ticked);
criterion_main!(benches);
