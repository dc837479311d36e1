#!/usr/bin/env node
import { runDaemon } from '../adapters/daemon/runDaemon.js';

runDaemon('scheduler');
