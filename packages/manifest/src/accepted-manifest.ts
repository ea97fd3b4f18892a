/** Reads the manifest object and the entry records from values of the store. */
import * as v from "valibot";

/** The part of `AcceptedManifest` that every format has. */
export interface AcceptedMetadata {
    generation: number;
    pushId: string;
    formatVersion: number;
}

/** The part of an entry record that a push needs. */
export interface EntryFormats {
    id: string;
    formats: number[];
    state: string;
}

export const entryPrefix = "entries/";

const headSchema = v.object({
    generation: v.pipe(v.number(), v.integer(), v.minValue(1)),
    pushId: v.string(),
    formatVersion: v.pipe(v.number(), v.integer()),
});
const entrySchema = v.object({ id: v.string(), formats: v.array(v.number()), state: v.string() });

/** Reads generation, push id and format; undefined when the value is no accepted manifest. */
export function readAcceptedMetadata(value: unknown): AcceptedMetadata | undefined {
    const result = v.safeParse(headSchema, value);
    return result.success ? result.output : undefined;
}

/** Reads an entry record; undefined when it is malformed. */
export function readEntryFormats(value: unknown): EntryFormats | undefined {
    const result = v.safeParse(entrySchema, value);
    return result.success ? result.output : undefined;
}
