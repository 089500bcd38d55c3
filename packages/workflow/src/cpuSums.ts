/** Sums of processor time in millicores, by name. */
export class CpuSums {
  private readonly sums = new Map<string, number>();

  add(name: string, cpuMillis: number): void {
    this.sums.set(name, this.get(name) + cpuMillis);
  }

  get(name: string): number {
    return this.sums.get(name) ?? 0;
  }
}
