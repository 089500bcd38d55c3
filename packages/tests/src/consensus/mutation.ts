/** Mechanism of the protocol that a test switches off. */
export type Mutation =
  | 'acknowledgement before the write completes'
  | 'vote before the write completes'
  | 'no wait after restart'
  | 'lost replica keeps its id'
  | 'entries of earlier terms commit by counting'
  | 'validity counts from the receipt of acknowledgements'
  | 'validity survives a transfer'
  | 'votes while a leader is heard'
  | 'membership changes do not wait'
  | 'learners are promoted at once'
  | 'log position is ignored in votes'
  | 'log position is ignored in appends'
  | 'learners refuse every vote'
  | 'snapshots hold another state';
