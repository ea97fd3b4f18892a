/** Times in ISO 8601 format with time zone. */

const pattern = /^(\d{4})-(\d{2})-(\d{2})T\d{2}:\d{2}(:\d{2}(\.\d{1,3})?)?(Z|[+-]\d{2}:\d{2})$/;

/** Returns the time in milliseconds since the epoch; undefined when the text is malformed or no such day exists. */
export function parseIsoTime(text: string): number | undefined {
    const match = pattern.exec(text);
    if (!match) {
        return undefined;
    }
    // Date.parse accepts 30 February and returns a day in March.
    const [, year, month, day] = match;
    const daysInMonth = new Date(Date.UTC(Number(year), Number(month), 0)).getUTCDate();
    const time = Date.parse(text);
    return Number(day) > daysInMonth || Number.isNaN(time) ? undefined : time;
}
