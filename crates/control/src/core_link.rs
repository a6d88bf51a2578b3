//! Channels between core seats: the lower seat dials, both bind the other's disk (design 4.1, 4.2).

use crate::core::{Command, Core};

static TOKENS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);

pub(crate) fn start(core: &Core) {
    (core.env.seat + 1..core.env.seats).for_each(|seat| {
        tokio::spawn(keep_dialing(core.clone(), seat));
    });
    // Until this seat votes it asks often, as an empty disk is let in by whoever it asks.
    let (greeter, asker) = (core.clone(), core.clone());
    let seats = move || if asker.state.load().started { asker.env.seats as usize } else { usize::MAX };
    let greeting = move || greeter.greeting(transport::Purpose::Acquaint);
    tokio::spawn(crate::acquaint::run(core.known.clone(), core.env.seeds.clone(), greeting, seats));
}

async fn keep_dialing(core: Core, seat: u16) {
    let mut heard = core.known.subscribe();
    let mut turn = 0;
    loop {
        heard.mark_unchanged();
        let holder = core.pins.load().get(&seat).copied();
        let place = {
            let known = core.known.borrow();
            let told = known.values().filter(|place| place.seat == seat && holder.is_none_or(|holder| place.identity == holder));
            // Before all have met, of several disks that say so each in turn.
            let told: Vec<&transport::CoreSeat> = told.collect();
            told.get(turn % told.len().max(1)).map(|place| (*place).clone())
        };
        turn += 1;
        if let Some(place) = place {
            let own = transport::Greeting { expects: holder, ..core.greeting(transport::Purpose::Core) };
            match transport::dial(&place.address, own).await {
                Ok(conn) if conn.greeting.core.map(|(told, seats, _)| (told, seats)) == Some((seat, core.env.seats)) => {
                    if bind(&core, &conn.greeting).await.is_ok() && expected(&core, &conn.greeting) {
                        attend(&core, conn).await;
                    }
                }
                Ok(conn) => slog::warn!(core.logger, "not the seat expected"; "address" => place.address, "found" => ?conn.greeting.core),
                Err(transport::Trouble::Refused(reason)) => drop(core.commands.send(Command::Refused(reason)).await),
                Err(trouble) => slog::debug!(core.logger, "dial"; "seat" => seat, "trouble" => %trouble),
            }
        }
        let pause = 100 + rand::random::<u64>() % 100;
        crate::acquaint::news(&mut heard, std::time::Duration::from_millis(pause)).await;
    }
}

/// Whoever calls another disk than this one is answered, so that it learns whom it found, and no more is said.
pub(crate) fn expected(core: &Core, greeting: &transport::Greeting) -> bool {
    greeting.expects.is_none_or(|wanted| wanted == core.identity)
}

/// An empty disk asks for a seat that is another's here (design 4.4).
pub(crate) async fn mind_knock(core: &Core, greeting: &transport::Greeting) {
    let asks = greeting.core.filter(|(seat, seats, _)| greeting.blank && *seats == core.env.seats && *seat != core.env.seat);
    if let Some((seat, _, identity)) = asks
        && core.pins.load().get(&seat).is_some_and(|held| *held != identity)
    {
        // No two processes share an address: whoever held the seat there is gone.
        let place = core.known.borrow().iter().any(|((told, held), place)| *told == seat && *held != identity && place.address == greeting.address);
        drop(core.commands.send(Command::Knocked(seat, identity, place)).await);
    }
}

/// The first disk met in a seat is written down before anything is said to it.
pub(crate) async fn bind(core: &Core, greeting: &transport::Greeting) -> Result<(), String> {
    if !expected(core, greeting) {
        return Ok(());
    }
    mind_knock(core, greeting).await;
    let (seat, seats, identity) = greeting.core.ok_or("only core seats may open this channel")?;
    if seats != core.env.seats || seat >= seats || seat == core.env.seat {
        return Err(format!("seat {seat} of {seats} does not fit seat {} of {}", core.env.seat, core.env.seats));
    }
    let (done, pinned) = tokio::sync::oneshot::channel();
    let job = storage::Job::Pin { seat, identity, done: Box::new(move |held| done.send(held).unwrap_or_default()) };
    core.jobs.send(job).map_err(|_| "the disk's owner is gone".to_string())?;
    let held = pinned.await.ok().flatten().ok_or("the disk cannot keep who holds the seat")?;
    if held != identity {
        return Err(format!("seat {seat} belongs to another disk; an emptied disk may not vote as its old self"));
    }
    core.commands.send(Command::Pinned(seat, identity)).await.map_err(|_| "stopping".to_string())
}

/// Carries one channel until it breaks.
pub(crate) async fn attend(core: &Core, mut conn: transport::Conn) {
    let Some((seat, _, identity)) = conn.greeting.core else { return };
    let token = TOKENS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    crate::acquaint::merge(&core.known, conn.greeting.known);
    let begins = core.book.load().seats.get(&seat).filter(|(holder, _)| *holder == identity).map(|(_, upto)| *upto);
    let own = (core.env.seat, core.identity);
    let pins = core.pins.load().iter().map(|(seat, identity)| (*seat, *identity)).chain([own]).collect();
    let word = begins.map(|upto| transport::Frame::Admit { upto, pins }).unwrap_or(transport::Frame::Founder);
    if conn.sender.send(word).await.is_err() {
        return;
    }
    if core.commands.send(Command::Opened(seat, token, conn.sender.clone())).await.is_err() {
        return;
    }
    drop(conn.sender);
    // Mates beat far more often than this: silence so long is a dead channel.
    let patience = std::time::Duration::from_secs(3);
    while let Ok(Some(frame)) = tokio::time::timeout(patience, conn.receiver.recv()).await {
        let command = match frame {
            transport::Frame::Core(frame) => Command::Frame(seat, token, frame),
            transport::Frame::Admit { upto, pins } => Command::Admitted(upto, pins),
            transport::Frame::Founder => Command::Founder(seat),
            _ => continue,
        };
        if core.commands.send(command).await.is_err() {
            return;
        }
    }
    drop(core.commands.send(Command::Closed(seat, token)).await);
}
