/** Driver process of the carry benchmark: runs the jobs that its parent process sends. */
import { runJob } from "../carry/run-job.js";
import type { DriverJob } from "../carry/run-job.js";

process.on("message", (job: DriverJob) => {
    runJob(job).then(
        result => process.send!({ result }),
        (err: Error) => process.send!({ error: err.message }),
    );
});
process.once("disconnect", () => process.exit(0));
