/** Results of task calls to workers. */
export type TaskEvent =
  | {
      type: 'taskAnswered';
      workerId: string;
      taskId: string;
      call: 'prepareTask' | 'startTask' | 'stopTask' | 'checkpointTask';
      /** False when the worker refused the call, for example because it does not know the task. */
      accepted: boolean;
      checkpoint?: string;
    }
  | {
      type: 'taskCallFailed';
      workerId: string;
      taskId: string;
      call: 'prepareTask' | 'startTask' | 'stopTask' | 'checkpointTask';
      error: string;
    };
