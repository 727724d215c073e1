#!/usr/bin/env node
import '../out/node/main.js';
