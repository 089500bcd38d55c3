import type { CellConfig, ConfigParser } from './cellConfig.js';
import type { WorkflowState } from './workflowState.js';

/** Reads the configuration in force; it is parsed again when its version changes. */
export class ConfigReader {
  private readonly state: WorkflowState;
  private readonly parse: ConfigParser;
  private config: CellConfig | undefined;

  constructor(state: WorkflowState, parse: ConfigParser) {
    this.state = state;
    this.parse = parse;
  }

  /** Returns the configuration in force, if there is one. */
  read(): CellConfig | undefined {
    if (!this.state.config) return undefined;
    const { version, document } = this.state.config;
    if (this.config?.version !== version) this.config = this.parse(document);
    return this.config;
  }
}
