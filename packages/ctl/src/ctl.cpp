namespace eelgrassloom {}
