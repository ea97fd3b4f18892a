/** Statuses that HTTP defines (RFC 9110, section 15). */

const firstFinalStatus = 200;
const lastStatus = 599;

/** Returns whether a response with this status ends an exchange. One outside 100 to 599 is malformed. */
export function isFinalStatus(status: number): boolean {
    return status >= firstFinalStatus && status <= lastStatus;
}
