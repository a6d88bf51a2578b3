//! What a person who reads the logs of a standing log wants to know.

impl crate::Repertory {
    /// Each seat's channel and how far its turns are known, for logs.
    pub fn mates_told(&self) -> String {
        let told = self.everyone().into_iter().map(|seat| {
            let (mate, share) = (&self.mates[seat as usize], &self.shares[seat as usize]);
            let unknown = share.first_unknown(self.owned_from(seat, self.applied), self.seats);
            format!("{seat}: open {} suspected {} applied {} unknown from {unknown}", mate.open, mate.suspected, mate.applied)
        });
        let revoking = self
            .revoking
            .iter()
            .map(|(owner, held)| format!("revoking {owner} {:?} {:?} reports {} accepts {}", held.block, held.round, held.reports.len(), held.accepts.len()));
        told.chain(revoking)
            .chain([format!("from {} until {} floor {} carried out {}", self.vote_from, self.vote_until, self.floor, self.carried_out)])
            .collect::<Vec<_>>()
            .join("; ")
    }
}
