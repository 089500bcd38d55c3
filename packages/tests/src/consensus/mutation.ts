/** Deliberate defect of the protocol that a test introduces. */
export type Mutation =
  | 'acknowledgement before the write completes'
  | 'vote before the write completes'
  | 'no leader lease after restart'
  | 'replica keeps its id after disk loss'
  | 'entries of earlier terms commit by counting replicas'
  | 'leader validity starts at the receipt of acknowledgements'
  | 'leader validity survives a transfer'
  | 'votes during a leader lease'
  | 'votes hide a recent contact with the leader'
  | 'membership changes without a commit in the term'
  | 'learners are promoted before they catch up'
  | 'log position is ignored in votes'
  | 'log position is ignored in appends'
  | 'learners refuse every vote'
  | 'snapshots contain a different state';
