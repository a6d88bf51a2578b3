//! How a core machine comes to its seat: by the founding, once, or in place of one that is gone (design 12.1).

pub struct FoundingEnv {
    /// Where mates reach this process.
    pub address: String,
    pub zone: String,
    /// Mates' addresses of the machines named at the start; at the first start the first of them founds.
    pub seeds: Vec<String>,
    /// The whole system starts for the first time.
    pub first: bool,
    /// The founder waits for more machines until none has come for so long.
    pub quiet: model::Micros,
    pub least: model::Micros,
    /// At the first start only the founder is asked for so long; then any machine that has a seat, as the founder may
    /// be gone for good. Long enough that no seat is taken for vacant whose machine only starts slowly.
    pub founder_alone: model::Micros,
}

type Enlisted = std::collections::BTreeMap<String, (u64, transport::Sender)>;

fn greeting(env: &FoundingEnv, identity: u64) -> transport::Greeting {
    transport::Greeting {
        purpose: transport::Purpose::Enlist,
        name: env.address.clone(),
        zone: env.zone.clone(),
        address: env.address.clone(),
        incarnation: model::incarnation::draw(),
        // No seat yet: only the disk is named.
        core: Some((u16::MAX, 0, identity)),
        blank: true,
        expects: None,
        known: Vec::new(),
    }
}

/// Returns once this disk has a seat, and has it on disk.
pub async fn settle(
    env: &FoundingEnv,
    shelf: &mut storage::Shelf,
    listener: &tokio::net::TcpListener,
    logger: &slog::Logger,
) -> Result<storage::Charter, storage::Trouble> {
    if let Some(charter) = shelf.charter {
        return Ok(charter);
    }
    let first = env.first && !shelf.retired;
    if first && env.seeds.first() == Some(&env.address) {
        return found(env, shelf, listener, logger).await;
    }
    enlist(env, first, shelf, logger).await
}

async fn found(
    env: &FoundingEnv,
    shelf: &mut storage::Shelf,
    listener: &tokio::net::TcpListener,
    logger: &slog::Logger,
) -> Result<storage::Charter, storage::Trouble> {
    let (enlisted, mut enlisting) = tokio::sync::mpsc::channel(64);
    let began = model::now();
    let mut latest = began;
    let mut members: Enlisted = Default::default();
    let mut conns = Vec::new();
    loop {
        let until = (latest + env.quiet).max(began + env.least);
        let wait = std::time::Duration::from_micros(until.saturating_sub(model::now()));
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let (own, enlisted) = (greeting(env, shelf.identity), enlisted.clone());
                tokio::spawn(async move {
                    let judged = |caller: transport::Greeting| async move {
                        let fits = caller.purpose == transport::Purpose::Enlist && caller.core.is_some();
                        if fits { Ok(own) } else { Err("the core is not founded yet".to_string()) }
                    };
                    if let Ok(conn) = transport::accept(stream, judged).await {
                        drop(enlisted.send(conn).await);
                    }
                });
            },
            Some(conn) = enlisting.recv() => {
                let transport::Conn { greeting, sender, receiver } = conn;
                let identity = greeting.core.map(|(_, _, identity)| identity).unwrap_or_default();
                if members.insert(greeting.address, (identity, sender)).is_none_or(|(held, _)| held != identity) {
                    latest = model::now();
                }
                conns.push(receiver);
            },
            _ = tokio::time::sleep(wait) => break,
        }
    }
    let disks = members.iter().map(|(address, (identity, _))| (address.clone(), *identity)).chain([(env.address.clone(), shelf.identity)]);
    let mut roster: Vec<(String, u64)> = disks.collect();
    roster.sort();
    let seats = roster.len() as u16;
    let pins: Vec<(u16, u64)> = roster.iter().zip(0..).map(|((_, identity), seat)| (seat, *identity)).collect();
    let seat_of = |identity: u64| pins.iter().find(|(_, held)| *held == identity).map(|(seat, _)| *seat).unwrap_or(0);
    let charter = storage::Charter { seat: seat_of(shelf.identity), seats, founded: true };
    // On disk before anyone hears of it: a founder that starts again founds nothing else.
    shelf.take_seat(charter, &pins)?;
    slog::info!(logger, "the core is founded"; "seats" => seats, "seat" => charter.seat);
    for (identity, sender) in members.into_values() {
        let word = transport::Frame::Roster { seat: seat_of(identity), seats, founded: true, pins: pins.clone() };
        drop(sender.send(word).await);
    }
    // Their conns end once all has been written.
    tokio::spawn(async move {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        drop(conns);
    });
    Ok(charter)
}

async fn enlist(env: &FoundingEnv, first: bool, shelf: &mut storage::Shelf, logger: &slog::Logger) -> Result<storage::Charter, storage::Trouble> {
    let mut turn = 0;
    let mut known: Vec<String> = Vec::new();
    let began = model::now();
    loop {
        let founder_alone = first && model::now() < began + env.founder_alone;
        let asked: Vec<&String> = if founder_alone {
            env.seeds.iter().take(1).collect()
        } else {
            env.seeds.iter().chain(&known).filter(|address| **address != env.address).collect()
        };
        if let Some(address) = asked.get(turn % asked.len().max(1)) {
            let heard = ask(address, greeting(env, shelf.identity)).await;
            if let Some((word, told)) = heard {
                known = told.into_iter().map(|seat| seat.address).filter(|address| !env.seeds.contains(address)).collect();
                if let transport::Frame::Roster { seat, seats, founded, pins } = word {
                    let charter = storage::Charter { seat, seats, founded };
                    shelf.take_seat(charter, &pins)?;
                    slog::info!(logger, "has a seat"; "seat" => seat, "seats" => seats, "founded" => founded);
                    return Ok(charter);
                }
            }
        }
        turn += 1;
        tokio::time::sleep(std::time::Duration::from_millis(if founder_alone { 60 } else { 120 })).await;
    }
}

async fn ask(address: &str, own: transport::Greeting) -> Option<(transport::Frame, Vec<transport::CoreSeat>)> {
    let mut conn = transport::dial(address, own).await.ok()?;
    let patience = std::time::Duration::from_secs(5);
    loop {
        if let word @ (transport::Frame::Roster { .. } | transport::Frame::NoSeat) = tokio::time::timeout(patience, conn.receiver.recv()).await.ok()?? {
            return Some((word, conn.greeting.known));
        }
    }
}

/// What a seated process says to a machine that asks for a seat.
pub(crate) fn word(core: &crate::Core, greeting: &transport::Greeting) -> transport::Frame {
    let seats = core.env.seats;
    let Some((_, _, identity)) = greeting.core else { return transport::Frame::NoSeat };
    let pins: Vec<(u16, u64)> = core.pins.load().iter().map(|(seat, held)| (*seat, *held)).chain([core.identity()]).collect();
    // It missed the founder's word; its disk is named and has no past.
    if let Some((seat, _)) = pins.iter().find(|(_, held)| *held == identity) {
        let founded = core.env.charter.is_some_and(|charter| charter.founded) && !core.book.load().seats.contains_key(seat);
        return transport::Frame::Roster { seat: *seat, seats, founded, pins };
    }
    let known = core.known.borrow();
    let at_home = pins.iter().find(|(seat, held)| known.get(&(*seat, *held)).is_some_and(|place| place.address == greeting.address));
    let vacant = core.state.load().vacant.first().copied();
    match at_home.map(|(seat, _)| *seat).or(vacant) {
        Some(seat) => transport::Frame::Roster { seat, seats, founded: false, pins: Vec::new() },
        None => transport::Frame::NoSeat,
    }
}
