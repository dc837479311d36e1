/** Events about tasks on workers. */
export type TaskEvent =
  | {
      type: 'taskAnswered';
      workerId: string;
      taskId: string;
      call: 'prepareTask' | 'startTask' | 'stopTask' | 'checkpointTask';
      /** False when the worker refused, for example an unknown task. */
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
