//! Any number of simulated sites, each named by its seed and its blows (design 9.8).

const SECOND: u64 = 1_000_000;

/// One site from its beginning through the blows to its recovery; what was broken, and the site.
pub fn play(plan: super::SitePlan, bytes: &[u8]) -> (Vec<String>, super::Site) {
    let mut site = super::Site::new(plan);
    super::schedule_site_faults(&mut site, bytes);
    let end = (6 + bytes.len() as u64 / 2) * SECOND;
    site.run_until(end);
    let broken = site.finish(end);
    (broken, site)
}

/// The blows that a seed draws, `count` of them.
pub fn draw_fault_bytes(seed: u64, count: usize) -> Vec<u8> {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    (0..count * 3)
        .map(|_| rand::Rng::random_range(&mut random, 0..=255u8))
        .collect()
}

pub fn to_hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Three bytes a blow, in hexadecimal.
pub fn parse_hexadecimal(text: &str) -> Option<Vec<u8>> {
    let fine = !text.is_empty() && text.len().is_multiple_of(6) && text.is_ascii();
    fine.then(|| {
        (0..text.len() / 2)
            .map(|at| u8::from_str_radix(&text[at * 2..at * 2 + 2], 16).ok())
            .collect()
    })
    .flatten()
}

#[derive(Debug, Default)]
pub struct TrialSummary {
    pub sites: u64,
    pub runs: usize,
    pub served: usize,
    pub retries: usize,
    pub moves: usize,
    /// Seed, blows, and what was broken first.
    pub violations: Vec<(u64, String, String)>,
}

/// Seeds from `first` on, over the machine's cores.
pub fn run_many(first: u64, count: u64, length: usize) -> TrialSummary {
    let cores = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(1) as u64;
    let workers: Vec<_> = (0..cores)
        .map(|core| {
            std::thread::spawn(move || {
                (first..first + count)
                    .filter(|seed| seed % cores == core)
                    .map(|seed| run_one(seed, &draw_fault_bytes(seed, length)))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    workers
        .into_iter()
        .filter_map(|worker| worker.join().ok())
        .flatten()
        .fold(TrialSummary::default(), |sum, one| TrialSummary {
            sites: sum.sites + one.sites,
            runs: sum.runs + one.runs,
            served: sum.served + one.served,
            retries: sum.retries + one.retries,
            moves: sum.moves + one.moves,
            violations: sum.violations.into_iter().chain(one.violations).collect(),
        })
}

pub fn run_one(seed: u64, bytes: &[u8]) -> TrialSummary {
    let (broken, site) = play(super::SitePlan::new(seed), bytes);
    let judge = &site.checks;
    let broken = broken
        .into_iter()
        .take(1)
        .map(|told| (seed, to_hexadecimal(bytes), told))
        .collect();
    TrialSummary {
        sites: 1,
        runs: judge.runs,
        served: judge.served,
        retries: judge.retries,
        moves: judge.moves,
        violations: broken,
    }
}
