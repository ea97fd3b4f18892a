/** The mix of requests that the load driver sends for each deployment. */
import type { Random } from "@waxwingdale/core";
import { RequestClass } from "@waxwingdale/core";

export enum Deployment {
    Association = "association",
    Khata = "khata",
}

/** One request of the mix. */
export interface LoadRequest {
    service: string;
    method: string;
    path: string;
    requestClass: RequestClass;
    /** Whether the caller may send it again without a key. */
    idempotent: boolean;
    /** Bytes of a pattern body to upload. */
    uploadBytes: number;
    /** Bytes of a pattern body that the answer has; 0 for a small JSON answer. */
    downloadBytes: number;
}

interface MixItem {
    share: number;
    create: (random: Random) => LoadRequest;
}

const pickId = (random: Random) => Math.floor(random() * 100_000);

function createSmall(
    service: string,
    method: string,
    path: string,
    idempotent: boolean,
): (random: Random) => LoadRequest {
    return random => ({
        service,
        method,
        path: method === "GET" ? `${path}/${pickId(random)}` : path,
        requestClass: idempotent ? RequestClass.Lookup : RequestClass.Write,
        idempotent,
        uploadBytes: method === "GET" ? 0 : 200 + Math.floor(random() * 800),
        downloadBytes: 0,
    });
}

function createBulk(
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
            path: `${path}/${pickId(random)}${isDownload ? `?bytes=${bytes}` : ""}`,
            requestClass: RequestClass.Bulk,
            idempotent: true,
            uploadBytes: isDownload ? 0 : bytes,
            downloadBytes: isDownload ? bytes : 0,
        };
    };
}

const mixes: Record<Deployment, MixItem[]> = {
    [Deployment.Association]: [
        { share: 0.55, create: createSmall("register", "GET", "/detectors", true) },
        { share: 0.2, create: createSmall("register", "GET", "/tests", true) },
        { share: 0.1, create: createSmall("register", "POST", "/tests", false) },
        { share: 0.1, create: createSmall("register", "POST", "/certificates", false) },
        { share: 0.05, create: createBulk("archive", "GET", "/files", 200_000, 2_000_000) },
    ],
    [Deployment.Khata]: [
        { share: 0.7, create: createSmall("intake", "GET", "/clients", true) },
        { share: 0.2, create: createSmall("intake", "POST", "/engagements", false) },
        { share: 0.05, create: createBulk("document", "GET", "/bundles", 200_000, 2_000_000) },
        { share: 0.05, create: createBulk("document", "PUT", "/bundles", 200_000, 2_000_000) },
    ],
};

/** Draws the next request of a deployment's mix. */
export function drawRequest(deployment: Deployment, random: Random): LoadRequest {
    let rest = random();
    const mix = mixes[deployment];
    const item = mix.find(({ share }) => (rest -= share) < 0) ?? mix[0]!;
    return item.create(random);
}
