//! Runs any number of simulated sites, each determined by its seed and its faults (design 9.8).

const SECOND: u64 = 1_000_000;

/// Simulates a site through the faults that `bytes` encode until it has recovered. Returns the violations and the site.
pub fn simulate(plan: super::SitePlan, bytes: &[u8]) -> (Vec<String>, super::Site) {
    let mut site = super::Site::new(plan);
    super::schedule_site_faults(&mut site, bytes);
    let end = (6 + bytes.len() as u64 / 2) * SECOND;
    site.run_until(end);
    let violations = site.finish(end);
    (violations, site)
}

/// Draws the encoding of `count` faults from the seed.
pub fn draw_fault_bytes(seed: u64, count: usize) -> Vec<u8> {
    let mut rng: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    (0..count * 3)
        .map(|_| rand::Rng::random_range(&mut rng, 0..=255u8))
        .collect()
}

/// Formats the encoding of faults as hexadecimal digits.
pub fn to_hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses the encoding of faults, three bytes each, from hexadecimal digits.
pub fn parse_hexadecimal(text: &str) -> Option<Vec<u8>> {
    let is_valid = !text.is_empty() && text.len().is_multiple_of(6) && text.is_ascii();
    is_valid
        .then(|| {
            (0..text.len() / 2)
                .map(|index| u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok())
                .collect()
        })
        .flatten()
}

/// Totals over a number of simulated sites.
#[derive(Debug, Default)]
pub struct TrialSummary {
    pub sites: u64,
    pub runs: usize,
    pub served: usize,
    pub retries: usize,
    /// Number of moves of a key to another backend process.
    pub moves: usize,
    /// The seed, the faults in hexadecimal, and the first violation.
    pub violations: Vec<(u64, String, String)>,
}

/// Simulates a site for each of the `count` seeds from `first` on, in parallel on all processors.
pub fn run_many(first: u64, count: u64, length: usize) -> TrialSummary {
    let threads = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(1) as u64;
    let workers: Vec<_> = (0..threads)
        .map(|thread| {
            std::thread::spawn(move || {
                (first..first + count)
                    .filter(|seed| seed % threads == thread)
                    .map(|seed| run_one(seed, &draw_fault_bytes(seed, length)))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    workers
        .into_iter()
        .filter_map(|worker| worker.join().ok())
        .flatten()
        .fold(TrialSummary::default(), |total, summary| TrialSummary {
            sites: total.sites + summary.sites,
            runs: total.runs + summary.runs,
            served: total.served + summary.served,
            retries: total.retries + summary.retries,
            moves: total.moves + summary.moves,
            violations: total
                .violations
                .into_iter()
                .chain(summary.violations)
                .collect(),
        })
}

/// Simulates the site of one seed through the faults that `bytes` encode.
pub fn run_one(seed: u64, bytes: &[u8]) -> TrialSummary {
    let (violations, site) = simulate(super::SitePlan::new(seed), bytes);
    let checks = &site.checks;
    let violations = violations
        .into_iter()
        .take(1)
        .map(|violation| (seed, to_hexadecimal(bytes), violation))
        .collect();
    TrialSummary {
        sites: 1,
        runs: checks.runs,
        served: checks.served,
        retries: checks.retries,
        moves: checks.moves,
        violations,
    }
}
