/** Checks the routes of a service. */
import { RequestClass } from "@waxwingdale/core";
import type { JsonPath } from "../json-path.js";
import { ProblemCode } from "../problem.js";
import type { RouteSpec, ServiceSpec } from "../types.js";
import { checkUnique, asWarning } from "./check-context.js";
import type { CheckContext } from "./check-context.js";

const safeMethods = ["GET", "HEAD", "OPTIONS"];
const bitsPerMegabit = 1_000_000;

export function checkRoutes(ctx: CheckContext, service: ServiceSpec, path: JsonPath): void {
    checkUnique(
        ctx,
        "route",
        service.routes,
        route => route.name,
        i => [...path, i, "name"],
    );
    service.routes.forEach((route, i) => {
        checkMethods(ctx, service.routes.slice(0, i), route, [...path, i]);
        checkNonIdempotent(ctx, route, [...path, i]);
        checkBody(ctx, route, [...path, i]);
        checkTimeout(ctx, route, [...path, i]);
    });
}

function checkMethods(
    ctx: CheckContext,
    earlier: readonly RouteSpec[],
    route: RouteSpec,
    path: JsonPath,
): void {
    checkUnique(
        ctx,
        "method",
        route.methods,
        method => method,
        i => [...path, "methods", i],
    );
    const normalize = (prefix: string) => prefix.replace(/\/+$/, "");
    const other = earlier.find(
        row =>
            normalize(row.path) === normalize(route.path) &&
            row.methods.some(method => route.methods.includes(method)),
    );
    if (other !== undefined) {
        ctx.report([...path, "path"], {
            code: ProblemCode.RouteConflict,
            message: `the route "${other.name}" has the same path and method`,
            expected: "one route per path and method",
            fix: "change the path or the methods",
        });
    }
}

function checkNonIdempotent(ctx: CheckContext, route: RouteSpec, path: JsonPath): void {
    if (route.idempotent) {
        return;
    }
    route.methods.forEach((method, i) => {
        if (safeMethods.includes(method)) {
            ctx.report([...path, "methods", i], {
                code: ProblemCode.UnsafeRoute,
                message: `${method} is not allowed on a non-idempotent route`,
                expected: "POST, PUT, PATCH or DELETE, since clients and caches may repeat the others",
                fix: "change the method or set idempotent to true",
            });
        }
    });
    if (route.retryBudget > 0) {
        ctx.report([...path, "retryBudget"], {
            code: ProblemCode.UnsafeRoute,
            message: "a non-idempotent route has a retry budget",
            expected: "0, since a request that was sent is never retried",
            fix: "set retryBudget to 0",
        });
    }
    if (route.class === RequestClass.Lookup) {
        ctx.report(
            [...path, "class"],
            asWarning({
                code: ProblemCode.UnsafeRoute,
                message: 'a non-idempotent route has the class "lookup", which is for small reads',
                expected: '"write" or "bulk"',
                fix: 'set class to "write"',
            }),
        );
    }
}

function checkBody(ctx: CheckContext, route: RouteSpec, path: JsonPath): void {
    const hasUpload = route.methods.some(method => ["POST", "PUT", "PATCH"].includes(method));
    if (route.class === RequestClass.Bulk && hasUpload && route.maxBodyBytes === 0) {
        ctx.report([...path, "maxBodyBytes"], {
            code: ProblemCode.UnsafeLimit,
            message: "a bulk route that accepts uploads has no body size limit",
            expected: "the maximum size of an upload in bytes",
            fix: "set maxBodyBytes, for example to 314572800 for 300 MiB",
        });
    }
    const minMegabitsPerSecond = Math.min(...ctx.manifest.links.map(link => link.megabitsPerSecond));
    const transferMs = Math.ceil((route.maxBodyBytes * 8 * 1000) / (minMegabitsPerSecond * bitsPerMegabit));
    if (Number.isFinite(transferMs) && transferMs > route.timeoutMs) {
        ctx.report(
            [...path, "maxBodyBytes"],
            asWarning({
                code: ProblemCode.UnsafeLimit,
                message: `the largest body takes ${transferMs} ms to transfer over the slowest link`,
                expected: `a transfer time of at most ${route.timeoutMs} ms, the value of timeoutMs`,
                fix: "lower maxBodyBytes or raise timeoutMs",
            }),
        );
    }
}

function checkTimeout(ctx: CheckContext, route: RouteSpec, path: JsonPath): void {
    const { shutdown, claims } = ctx.manifest;
    if (route.timeoutMs > shutdown.maxWaitSeconds * 1000) {
        ctx.report(
            [...path, "timeoutMs"],
            asWarning({
                code: ProblemCode.UnsafeLimit,
                message: `a graceful shutdown may interrupt requests of this route, since it waits only ${shutdown.maxWaitSeconds} s`,
                expected: "at most shutdown.maxWaitSeconds",
                fix: "lower timeoutMs or raise shutdown.maxWaitSeconds",
            }),
        );
    }
    if (!route.idempotent && route.timeoutMs > claims.retentionSeconds * 1000) {
        ctx.report(["claims", "retentionSeconds"], {
            code: ProblemCode.UnsafeLimit,
            message: `a request of "${route.name}" may still run when its claim expires`,
            expected: `at least ${Math.ceil(route.timeoutMs / 1000)}`,
            fix: "raise claims.retentionSeconds",
        });
    }
}
