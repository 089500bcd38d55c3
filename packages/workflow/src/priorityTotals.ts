import { NO_RESOURCES, type Resources } from '@lagoongap/model/resources.js';

interface PriorityTotal {
  priority: number;
  total: Resources;
  /** Number of steps; a total of none is removed, so that rounding errors do not add up. */
  steps: number;
}

function addTasks(total: Resources, size: Resources, tasks: number): Resources {
  return {
    cpuMillis: total.cpuMillis + size.cpuMillis * tasks,
    memoryMib: total.memoryMib + size.memoryMib * tasks,
    accelerators: total.accelerators + size.accelerators * tasks,
    slots: 0,
  };
}

/** Sums resources by name and priority. */
export class PriorityTotals {
  private readonly totals = new Map<string, PriorityTotal[]>();

  /** Adds tasks of one step, or takes them away. */
  add(name: string, priority: number, size: Resources, tasks: number, steps: 1 | -1): void {
    const list = this.totals.get(name) ?? [];
    let entry = list.find((it) => it.priority === priority);
    if (!entry) {
      entry = { priority, total: NO_RESOURCES, steps: 0 };
      list.push(entry);
    }
    entry.total = addTasks(entry.total, size, tasks * steps);
    entry.steps += steps;
    const used = list.filter((it) => it.steps > 0);
    if (used.length > 0) this.totals.set(name, used);
    else this.totals.delete(name);
  }

  /** Returns the resources of a name for a priority and all higher ones. */
  read(name: string, priority: number): Resources {
    let sum: Resources = NO_RESOURCES;
    for (const it of this.totals.get(name) ?? []) {
      if (it.priority <= priority)
        sum = sum === NO_RESOURCES ? it.total : addTasks(sum, it.total, 1);
    }
    return sum;
  }
}
