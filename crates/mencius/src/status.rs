//! What a person who reads the logs of a standing log wants to know.

impl crate::Replica {
    /// Each seat's channel and how far its turns are known, for logs.
    pub fn diagnostics(&self) -> String {
        let told = self.replica_ids().into_iter().map(|seat| {
            let (mate, share) = (
                &self.peers[seat as usize],
                &self.coordinator_logs[seat as usize],
            );
            let unknown = share.first_unknown(
                self.first_coordinated_from(seat, self.applied),
                self.replica_count,
            );
            format!(
                "{seat}: open {} suspected {} applied {} unknown from {unknown}",
                mate.connected, mate.suspected, mate.applied
            )
        });
        let revoking = self.revocations.iter().map(|(owner, held)| {
            format!(
                "revoking {owner} {:?} {:?} reports {} accepts {}",
                held.block,
                held.proposal_number,
                held.promises.len(),
                held.accepted_by.len()
            )
        });
        told.chain(revoking)
            .chain([format!(
                "from {} until {} floor {} carried out {}",
                self.voting_range_start,
                self.voting_range_end,
                self.compaction_point,
                self.executed
            )])
            .collect::<Vec<_>>()
            .join("; ")
    }
}
