/** Parser for ISO 8601 times with a time zone. */

const pattern = /^(\d{4})-(\d{2})-(\d{2})T\d{2}:\d{2}(:\d{2}(\.\d{1,3})?)?(Z|[+-]\d{2}:\d{2})$/;

/** Returns milliseconds since the epoch, or undefined if the text is malformed or the day does not exist. */
export function parseIsoTime(text: string): number | undefined {
    const match = pattern.exec(text);
    if (!match) {
        return undefined;
    }
    // Date.parse accepts February 30 and returns a day in March.
    const [, year, month, day] = match;
    const daysInMonth = new Date(Date.UTC(Number(year), Number(month), 0)).getUTCDate();
    const time = Date.parse(text);
    return Number(day) > daysInMonth || Number.isNaN(time) ? undefined : time;
}
