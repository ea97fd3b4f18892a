/** Something outside the fleet that members can tell which others they miss, and ask whether anybody misses them. */
import type { Member } from "@waxwingdale/core";

export abstract class Witness {
    /** Publishes that this member could not reach others. Does not throw; a failure is repeated in the background. */
    abstract reportMissing(members: readonly Member[]): void;

    /** Takes back all reports, since this member has been in contact again. Does not throw. */
    abstract withdrawReports(): void;

    /**
     * Returns whether any other member has published that it could not reach this one at `incarnation` or a later one: it
     * lives then, and this member is cut off from it.
     * @throws Error if the witness does not respond
     */
    abstract isMissed(incarnation: number): Promise<boolean>;
}
