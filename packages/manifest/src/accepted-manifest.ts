/** Parsers for the manifest object and the entry records in the store. */
import * as v from "valibot";

/** Fields of `AcceptedManifest` that all format versions have. */
export interface AcceptedMetadata {
    generation: number;
    pushId: string;
    formatVersion: number;
}

/** Fields of an entry record that a push needs. */
export interface EntryFormats {
    id: string;
    formats: number[];
    state: string;
}

export const entryPrefix = "entries/";

const metadataSchema = v.object({
    generation: v.pipe(v.number(), v.integer(), v.minValue(1)),
    pushId: v.string(),
    formatVersion: v.pipe(v.number(), v.integer()),
});
const entrySchema = v.object({ id: v.string(), formats: v.array(v.number()), state: v.string() });

/** Returns the metadata, or undefined if the value is not an accepted manifest. */
export function readAcceptedMetadata(value: unknown): AcceptedMetadata | undefined {
    const result = v.safeParse(metadataSchema, value);
    return result.success ? result.output : undefined;
}

/** Returns the fields of an entry record, or undefined if it is malformed. */
export function readEntryFormats(value: unknown): EntryFormats | undefined {
    const result = v.safeParse(entrySchema, value);
    return result.success ? result.output : undefined;
}
