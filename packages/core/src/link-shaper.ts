/** Contract of the limiter of the links between regions. */
import type { RequestClass } from "./request-class.js";

export interface LinkShaper {
    /**
     * Resolves when `bytes` of a request of the class may be sent from this entry's region to `toRegion`. Bulk
     * waits, so that a reserve stays free for the other classes. The own region resolves at once.
     */
    take(toRegion: string, requestClass: RequestClass, bytes: number, signal?: AbortSignal): Promise<void>;
}
