/** How an instance learned what a backend server says about itself in its responses. */
export enum ReportSource {
    Response = "response",
    Peer = "peer",
}
