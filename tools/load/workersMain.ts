import { startWorkers } from './startWorkers.js';

startWorkers(process.argv);
