/** Request mix of each deployment. */
import type { Random } from "@waxwingdale/core";
import { RequestClass } from "@waxwingdale/core";

export enum Deployment {
    Association = "association",
    Khata = "khata",
}

/** Request to send. */
export interface LoadRequest {
    service: string;
    method: string;
    path: string;
    requestClass: RequestClass;
    /** Whether the request can be retried without an idempotency key. */
    idempotent: boolean;
    /** Size of the pattern body to upload, in bytes. */
    uploadBytes: number;
    /** Size of the expected pattern body in the response, in bytes; 0 for a small JSON response. */
    downloadBytes: number;
}

interface MixItem {
    share: number;
    create: (random: Random) => LoadRequest;
}

const drawId = (random: Random) => Math.floor(random() * 100_000);

function smallRequest(
    service: string,
    method: string,
    path: string,
    idempotent: boolean,
): (random: Random) => LoadRequest {
    return random => ({
        service,
        method,
        path: method === "GET" ? `${path}/${drawId(random)}` : path,
        requestClass: idempotent ? RequestClass.Lookup : RequestClass.Write,
        idempotent,
        uploadBytes: method === "GET" ? 0 : 200 + Math.floor(random() * 800),
        downloadBytes: 0,
    });
}

function bulkRequest(
    service: string,
    method: string,
    path: string,
    minBytes: number,
    maxBytes: number,
): (random: Random) => LoadRequest {
    return random => {
        const bytes = minBytes + Math.floor(random() * (maxBytes - minBytes));
        const isDownload = method === "GET";
        return {
            service,
            method,
            path: `${path}/${drawId(random)}${isDownload ? `?bytes=${bytes}` : ""}`,
            requestClass: RequestClass.Bulk,
            idempotent: true,
            uploadBytes: isDownload ? 0 : bytes,
            downloadBytes: isDownload ? bytes : 0,
        };
    };
}

const mixes: Record<Deployment, MixItem[]> = {
    [Deployment.Association]: [
        { share: 0.55, create: smallRequest("register", "GET", "/detectors", true) },
        { share: 0.2, create: smallRequest("register", "GET", "/tests", true) },
        { share: 0.1, create: smallRequest("register", "POST", "/tests", false) },
        { share: 0.1, create: smallRequest("register", "POST", "/certificates", false) },
        { share: 0.05, create: bulkRequest("archive", "GET", "/files", 200_000, 2_000_000) },
    ],
    [Deployment.Khata]: [
        { share: 0.7, create: smallRequest("intake", "GET", "/clients", true) },
        { share: 0.2, create: smallRequest("intake", "POST", "/engagements", false) },
        { share: 0.05, create: bulkRequest("document", "GET", "/bundles", 200_000, 2_000_000) },
        { share: 0.05, create: bulkRequest("document", "PUT", "/bundles", 200_000, 2_000_000) },
    ],
};

/** Draws a random request from a deployment's mix. */
export function drawRequest(deployment: Deployment, random: Random): LoadRequest {
    let remaining = random();
    const mix = mixes[deployment];
    const item = mix.find(({ share }) => (remaining -= share) < 0) ?? mix[0]!;
    return item.create(random);
}
