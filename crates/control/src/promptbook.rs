//! What one life of a node was told of the bill, and what of it the node believes (design 11.6). Pure, with the
//! time told to it.

use model::Micros;

#[derive(Default)]
pub struct Promptbook {
    told: std::sync::Arc<model::bill::Programme>,
    /// When the latest proof was asked; 0 before the first.
    proved: Micros,
    /// On the conn of now: number, and when it was asked.
    asks: std::collections::VecDeque<(u64, Micros)>,
    numbers: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Heard {
    Nothing,
    News,
    Proof,
    /// What the conn tells does not fit what is held: it must begin anew.
    Misfit,
}

impl Promptbook {
    /// A new conn: no answer of an earlier one is waited for any more. Returns up to where the bill is held.
    pub fn begin(&mut self) -> model::Position {
        self.asks.clear();
        self.told.position
    }

    pub fn ask(&mut self, now: Micros) -> transport::Frame {
        self.numbers += 1;
        self.asks.push_back((self.numbers, now));
        transport::Frame::Ask { number: self.numbers }
    }

    /// Since when the oldest asking waits.
    pub fn waits_since(&self) -> Option<Micros> {
        self.asks.front().map(|(_, asked)| *asked)
    }

    pub fn take(&mut self, frame: transport::Frame) -> Heard {
        match frame {
            transport::Frame::Bulletin { afresh, from, to, deltas } => {
                // Forward only: what is older than what is held is dropped, whoever brings it, however late.
                if to <= self.told.position {
                    return Heard::Nothing;
                }
                let Some(deltas) = crate::bulletin::deltas(&deltas).filter(|_| afresh || from == self.told.position) else { return Heard::Misfit };
                self.told = std::sync::Arc::new(self.told.told(afresh, to, deltas));
                Heard::News
            }
            transport::Frame::Proof { number, position } => {
                let asked = self.asks.iter().find(|(asked, _)| *asked == number).map(|(_, at)| *at);
                self.asks.retain(|(asked, _)| *asked > number);
                // News went before the proof: what is held here is what stood there.
                let Some(asked) = asked.filter(|_| position <= self.told.position) else { return Heard::Nothing };
                self.proved = self.proved.max(asked);
                Heard::Proof
            }
            _ => Heard::Nothing,
        }
    }

    /// Believed or not.
    pub fn told(&self) -> &std::sync::Arc<model::bill::Programme> {
        &self.told
    }

    /// None before the first proof of this life: an earlier life may have held a newer bill than any one seat tells.
    /// A majority was asked for the proof, and every change that any seat ever told was chosen by one.
    pub fn believed(&self) -> Option<crate::Outlook> {
        (self.proved > 0).then(|| crate::Outlook { programme: self.told.clone(), proved: self.proved })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bulletin(to: model::Position) -> transport::Frame {
        let put = model::bill::items::Put {
            name: "s".into(),
            version: to,
            body: model::bill::Body::Service(model::bill::Service { health_path: String::new(), conns: 0, keyed: false, warm_us: 0 }),
            text: String::new(),
        };
        let mut desk = crate::bulletin::Desk::default();
        drop(desk.apply(&("o".into(), 1, 1), model::bill::Act::Items(model::bill::Call { puts: vec![put], drops: Vec::new() })));
        desk.bill.position = to;
        let (sender, mut told) = tokio::sync::mpsc::channel(8);
        desk.follow(0, sender);
        told.try_recv().expect("a bulletin")
    }

    #[test]
    fn nothing_is_believed_before_a_proof_that_was_asked_on_this_conn_and_speaks_of_what_is_held() {
        let mut book = Promptbook::default();
        book.begin();
        assert_eq!(book.take(bulletin(5)), Heard::News);
        assert!(book.believed().is_none());
        book.ask(100);
        assert_eq!(book.take(transport::Frame::Proof { number: 1, position: 6 }), Heard::Nothing, "it speaks of what never came here");
        book.ask(200);
        assert_eq!(book.begin(), 5);
        assert_eq!(book.take(transport::Frame::Proof { number: 2, position: 5 }), Heard::Nothing, "it was asked on an earlier conn");
        book.ask(300);
        assert_eq!(book.take(transport::Frame::Proof { number: 3, position: 5 }), Heard::Proof);
        let believed = book.believed().expect("proved");
        assert_eq!((believed.programme.position, believed.proved), (5, 300));
    }

    #[test]
    fn an_older_bill_that_arrives_late_is_dropped() {
        let mut book = Promptbook::default();
        book.begin();
        assert_eq!((book.take(bulletin(5)), book.take(bulletin(4)), book.take(bulletin(5))), (Heard::News, Heard::Nothing, Heard::Nothing));
        assert_eq!(book.told().position, 5);
    }
}
