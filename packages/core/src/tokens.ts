/** Typed tokens of the dependency container. */
// tsyringe checks for the polyfill when it is loaded, so this import is the first one.
import "reflect-metadata";
import { instanceCachingFactory } from "tsyringe";
import type { DependencyContainer } from "tsyringe";

/** Names a part of the process in the container. */
export interface Token<T> {
    symbol: symbol;
    /** Carries the type only; never set. */
    type?: T;
}

/** Creates a token. */
export function createToken<T>(name: string): Token<T> {
    return { symbol: Symbol(name) };
}

/** Returns the one instance of a part, which is created at the first call. */
export type Resolve = <T>(token: Token<T>) => T;

/** Registers the factory of a part. */
export function register<T>(
    container: DependencyContainer,
    token: Token<T>,
    create: (resolve: Resolve) => T,
): void {
    const factory = instanceCachingFactory(scope => create(memoizeResolve(scope)));
    container.register(token.symbol, { useFactory: factory });
}

/** Parts look up others for each request, and a look-up in the container costs as much as a decision. */
function memoizeResolve(container: DependencyContainer): Resolve {
    const known = new Map<symbol, unknown>();
    return <T>(token: Token<T>): T => {
        if (!known.has(token.symbol)) {
            known.set(token.symbol, resolveToken(container, token));
        }
        return known.get(token.symbol) as T;
    };
}

/** Returns the one instance of a part. */
export function resolveToken<T>(container: DependencyContainer, token: Token<T>): T {
    return container.resolve<T>(token.symbol);
}
