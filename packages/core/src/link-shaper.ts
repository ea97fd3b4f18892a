/** Traffic shaping for the links between regions. */
import type { RequestClass } from "./request-class.js";

export interface LinkShaper {
    /**
     * Resolves when `bytes` of a request of the given class may be sent from this entry's region to `toRegion`. Bulk
     * traffic is delayed to keep bandwidth in reserve for the other classes. Resolves immediately within the region.
     */
    take(toRegion: string, requestClass: RequestClass, bytes: number, signal?: AbortSignal): Promise<void>;
}
